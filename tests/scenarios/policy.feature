Feature: Decode slots are granted by one keeper an engine

  Scenario: Lagging reports don't make instances pile on an engine
    Given two decode engines of 4 slots whose reports are 5 s old
    And 3 instances in each of domains "a" and "b"
    When every instance is asked 3 questions at once
    Then no engine refused a reservation for lack of slots
    And no prompt was read in vain

  Scenario: The keeper of an engine dies
    Given two decode engines of 4 slots whose reports are 5 s old
    And 3 instances in each of domains "a" and "b"
    When the keeper of "d1" dies
    And every living instance is asked 2 questions over 6 s
    Then every question is answered whole
    And no slot stays held

  Scenario: A split view has two keepers for one engine
    Given two decode engines of 4 slots whose reports are 5 s old
    And 3 instances in each of domains "a" and "b"
    When the peers of domain "a" are cut off
    And every living instance is asked 2 questions over 6 s
    Then every question is answered whole
    And no slot stays held

  Scenario: An engine that leaves gets no new work
    Given two decode engines of 4 slots whose reports are 5 s old
    And 3 instances in each of domains "a" and "b"
    When the instances are told that "d1" is leaving
    And every living instance is asked 2 questions over 6 s
    Then every question is answered whole
    And "d1" wrote nothing

  Scenario: Engines of uneven capability are used for what they can do
    Given a decode engine "d1" that can't import KV cache
    And a prefill engine "p1" that can't export KV cache
    And 3 instances in each of domains "a" and "b"
    When every living instance is asked 1 questions over 6 s
    Then every question is answered whole
    And "p1" read nothing
