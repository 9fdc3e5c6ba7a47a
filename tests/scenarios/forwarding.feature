Feature: Requests passed on over a fleet of instances
  Callers reach any instance; each decides by itself, with what the store and
  the engines tell it.

  Background:
    Given 3 instances before 2 prefill engines, 3 decode engines and 2 tills

  Scenario: The store is away for a minute
    When the store goes away
    And 20 streams and 20 sales are sent over 60 s
    Then every request was answered whole
    And no sale ran twice

  Scenario: All instances are killed while the store is away
    A start without the store says so and waits; nobody is told "not found".
    When the store goes away
    And all instances are killed and started anew
    And 5 streams and 5 sales are sent over 2 s
    Then every request was told to come back
    When the store is back
    And 5 streams and 5 sales are sent over 2 s
    Then every request was answered whole

  Scenario: A decode engine dies under load
    When 30 streams and 0 sales are sent over 6 s while a decode engine dies
    Then every request was answered whole
    And no engine holds memory

  Scenario: The holder of the orders is cut off
    Given the holder of the orders is known
    When the holder is cut off from the store for 20 s
    Then another instance holds them, under a higher fencing token
    And there was a whole time to live between the two
