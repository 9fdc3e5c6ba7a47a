Feature: Operators change what the fleet runs, from any instance

  Background:
    Given instances e1, e2 and e3
    And the service shop-api

  Scenario: Three operators race on three instances
    When operators change shop-api at e1, e2 and e3 at once
    Then one change is accepted and 2 are refused as config_conflict
    And within 6 seconds all instances hold the accepted change

  Scenario: An operator drains an endpoint and the fleet knows in seconds
    Given an endpoint till-1 and an endpoint till-2 of shop-api
    When ana drains till-1 at e1
    Then within 6 seconds till-1 is drained at all instances
    And the history at e3 names ana

  Scenario: The log is down for an hour
    When the log is down for 3600 seconds
    Then a change at e2 is refused as log_unavailable and did not run
    And shop-api can be read at e2
    When the log is back
    Then a change at e2 is accepted
    And within 6 seconds all instances hold the accepted change

  Scenario: The answer of the log is lost
    When the log loses its next answer
    Then a change at e1 is accepted
    And the log holds that change once

  Scenario: An operator sends the same operation to every instance
    When the operation op-7 is sent to e1, e2 and e3 at once
    Then all three get the same generation
