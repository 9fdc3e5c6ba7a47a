Feature: What operators change is in force everywhere and never reverts

  Background:
    Given a log that keeps records for 60 seconds
    And 2 instances in each of the domains a, b and c
    And a plain service and two endpoints

  Scenario: The log is down for ten minutes and instances restart meanwhile
    When the log goes down
    And a1 restarts
    And 200 seconds pass
    And b2 restarts
    And 200 seconds pass
    And c1 restarts
    And 200 seconds pass
    Then all hold the accepted changes
    And a change at a1 is refused and did not run
    When the log comes back
    And 3 seconds pass
    And a change at c1 is accepted
    Then within 6 seconds all hold the accepted changes
    And all instances at one offset hold one state

  Scenario: The log comes back empty, after longer than it keeps records
    When the log goes down
    And 150 seconds pass
    And the log comes back
    And 30 seconds pass
    And all instances are replaced one by one
    Then all hold the accepted changes
    When all instances are replaced at once
    And a change at b1 is accepted
    Then within 6 seconds all hold the accepted changes
    And all instances at one offset hold one state

  Scenario: Nothing changes for longer than the log keeps records
    When 200 seconds pass
    And all instances are replaced at once
    Then within 10 seconds all hold the accepted changes

  Scenario: Records are lost before anybody has read them
    When the log takes a change at a1, falls and loses the answer
    And 100 seconds pass
    And the log comes back
    And 20 seconds pass
    And a change at b2 is accepted
    Then within 6 seconds all hold the accepted changes
    And all instances at one offset hold one state
    When all instances are replaced at once
    Then within 10 seconds all hold the accepted changes

  Scenario: Lost records wait for a silent instance that may know them
    When domain c is cut off from peers
    And the log takes a change at a1, falls and loses the answer
    And 100 seconds pass
    And the log comes back
    And 30 seconds pass
    Then a change at b1 is refused or unknown
    When the cuts heal
    And 20 seconds pass
    And a change at b1 is accepted
    Then within 6 seconds all hold the accepted changes

  Scenario: An operator accepts the loss while an instance is silent
    When domain c is cut off from peers
    And the log takes a change at a1, falls and loses the answer
    And 100 seconds pass
    And the log comes back
    And 30 seconds pass
    Then a change at b1 is refused or unknown
    When an operator accepts the loss at b1
    And 20 seconds pass
    And a change at b1 is accepted
    Then within 6 seconds all hold the accepted changes
    And all instances at one offset hold one state

  Scenario: An accepted loss is for the present gap only
    When an operator accepts the loss at b1
    And 5 seconds pass
    And domain c is cut off from peers
    And the log takes a change at a1, falls and loses the answer
    And 100 seconds pass
    And the log comes back
    And 30 seconds pass
    Then a change at b1 is refused or unknown

  Scenario: The log begins anew at offset 0
    When the log is wiped
    And 10 seconds pass
    Then a change at a1 is refused and did not run
    And all hold the accepted changes
    When b1 restarts
    And 10 seconds pass
    Then all hold the accepted changes

  Scenario: Two operators race on three instances
    When a1 and b1 change the same endpoint at once
    Then one of them wins and the other is told of a conflict
    And within 6 seconds all hold the accepted changes
    And all instances at one offset hold one state

  Scenario Outline: An acknowledgement is lost
    When the answer to the next append on <stream> is lost
    And <action>
    And 50 seconds pass
    And all instances are replaced at once
    Then within 10 seconds all hold the accepted changes
    And the change stands on the log once

    Examples:
      | stream                    | action                     |
      | configuration             | a change at a1 is accepted |
      | configuration-chunks      | a change at a1 is accepted |
      | configuration-checkpoints | a change at a1 is accepted |

  Scenario: Older instances meet a record of a newer version
    When a record of a newer version is appended
    And a change at a1 is accepted
    And 50 seconds pass
    And all instances are replaced one by one
    And all instances are replaced at once
    And 10 seconds pass
    Then all keep the newer record whole
    And all hold the accepted changes

  Scenario: A domain is cut off from the log and from everyone
    When domain c is cut off
    Then a change at c1 is refused and did not run
    When a change at a1 is accepted
    And 10 seconds pass
    Then those outside c hold the accepted changes
    And c1 and c2 hold what was accepted before
    When the cuts heal
    Then within 6 seconds all hold the accepted changes
    And all instances at one offset hold one state

  Scenario: A domain is cut off from the log but not from its peers
    When domain c is cut off from the log
    And 5 seconds pass
    And a change at a1 is accepted
    Then within 6 seconds all hold the accepted changes
    And a change at c2 is refused and did not run

  Scenario: An accepted change never reverts
    When changes go on while every instance restarts in turn
    Then no instance ever went back
    And within 6 seconds all hold the accepted changes
    And all instances at one offset hold one state
