Feature: Leaving
  Nobody's answer is cut when an instance or an endpoint leaves.

  Background:
    Given 6 instances in the domains a and b
    And 4 engines and 2 tills

  Scenario: All instances are replaced one by one under load
    The balancer sends callers only to instances that are listed. Each one is
    drained, stopped and started anew, and configuration changes meanwhile.
    When callers send requests all the while
    And every instance is replaced, with a change of configuration each time
    Then every answer came whole
    And every instance knows all 6 changes
    And no engine holds memory

  Scenario: A shutdown that is hastened says what it cuts
    When a caller asks entry-a1 for a long answer
    And entry-a1 is shut down and hastened after 1 second
    Then the shutdown cut 1 request

  Scenario: A closed instance refuses truthfully
    When entry-a1 is shut down
    And a caller asks entry-a1
    Then the caller is told to come back and that nothing ran

  Scenario Outline: An endpoint leaves, told by <source>
    The list lies 30 seconds behind. Whoever knows first tells the others.
    When callers send requests all the while
    And <source> says that <endpoint> leaves
    Then 3 seconds later <endpoint> gets no new work
    And every answer came whole

    Examples:
      | source          | endpoint |
      | the engine      | e1       |
      | the operator    | e1       |
      | the operator    | till-1   |
      | one list reader | e1       |
      | one list reader | till-1   |
