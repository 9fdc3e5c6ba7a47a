Feature: Instances know who is here

  Background:
    Given 3 instances in each of the domains a, b and c

  Scenario: A newcomer is known before the list has it
    Given the list lies 60 seconds behind
    When a4 starts in domain a
    Then within 5 seconds all see a4

  Scenario: A dead instance is passed over at once
    When b1 dies
    Then within 3 seconds all but b1 pass over b1

  Scenario: A replacement takes the name over, wherever it stands
    Given the list lies 60 seconds behind
    When b1 dies
    And b1 starts in domain b
    Then within 5 seconds all reach the new b1
    And all see b1

  Scenario: A replacement whose clock is an hour behind is the newer one
    Given the list lies 60 seconds behind
    When b1 dies
    And b1 starts in domain b with a clock 3600 seconds behind
    Then within 5 seconds all reach the new b1
    And all see b1

  Scenario: Clocks that differ change nothing
    When a4 starts in domain a with a clock 7200 seconds behind
    And c4 starts in domain c with a clock 7200 seconds ahead
    And b2 dies
    Then within 5 seconds all but b2 pass over b2
    And within 5 seconds all but b2 see a4
    And within 5 seconds all but b2 see c4

  Scenario: A paused instance is passed over and comes back
    When c2 is paused
    Then within 8 seconds all but c2 pass over c2
    When c2 goes on
    Then c2 passes over nobody for 3 seconds
    And within 8 seconds all see c2

  Scenario: A peer that hears but is not heard is passed over
    When domain b is no longer heard in domain a
    Then within 30 seconds those in a pass over those in b
    And within 30 seconds those in b pass over those in a
    And those in c see all

  Scenario: The list is down
    Given the list is down
    When a3 dies
    Then within 3 seconds all but a3 pass over a3
    And all but a3 see all but a3

  Scenario: An instance that leaves gets no more roles
    Given the list lies 60 seconds behind
    When c1 begins to leave
    Then within 3 seconds all pass over c1

  Scenario: A domain is cut off and comes back
    When domain a is cut off from domains b and c
    Then within 40 seconds those in a pass over those in b
    And within 40 seconds those in b pass over those in a
    And those in a see those in a
    When the cut heals
    Then within 30 seconds all see all

  Scenario: A domain cut off from everything goes on answering
    Given a model engine in each of the domains a, b and c
    When domain a is cut off from peers, log and list
    And 20 seconds pass
    Then a1 answers a request whole, with the engine of its domain
    And b1 answers a request whole, with an engine of b or c
    When the cut heals
    Then within 30 seconds all see all
    And no engine holds memory
