Feature: Orders to engines
  Engines take orders from one rightful holder of a lease on the log. Some
  engines refuse an old fencing number and others do as the last one says.

  Background:
    Given 3 instances in domain a
    And 4 engines of version 1 that ignore fencing numbers

  Scenario: Engines are rolled to a new version under load
    Callers send requests all the while. Each engine is emptied before it
    loads, so nobody's answer is cut; at any moment some engine serves.
    When callers send requests all the while
    And operators declare version 2
    Then within 120 seconds all engines have version 2
    And at every moment some engine was neither loading nor held back
    And every answer came whole
    And no engine obeyed an older holder after a newer one

  Scenario: A paused holder returns after its lease
    The holder stops before it gives its order, and another instance takes the
    engine over. The first believes that it may still order; its own clock
    tells it better before it sends anything.
    When operators declare version 2
    And the holder of an engine is paused before it orders
    And 60 seconds pass
    And the paused instance goes on
    Then within 120 seconds all engines have version 2
    And no engine obeyed an older holder after a newer one

  Scenario: A stale order lands late
    An order of a holder that is long gone reaches an engine that obeys it.
    Nobody sees the order; the engine's own report shows what it did.
    When operators declare version 2
    Then within 120 seconds all engines have version 2
    When an order for version 1 under fence 0 reaches an engine
    Then within 40 seconds all engines have version 2

  Scenario: The answer to each claim is lost
    The record is on the log, but its writer never hears so. It reads the log
    and finds itself the holder, or waits until nobody can be.
    When the answers to the next 3 appends to the log are lost
    And operators declare version 2
    Then within 200 seconds all engines have version 2
    And no engine obeyed an older holder after a newer one

  Scenario: The log is down while a lease is held
    Nobody can prolong or take a lease. Orders stop when the leases have run
    out, and engines go on serving what they have.
    When operators declare version 2
    And the log goes down while an engine is held
    And 40 seconds pass
    Then no order is given for 30 seconds
    And a request is answered whole
    When the log comes back
    Then within 120 seconds all engines have version 2

  Scenario: An engine changes its role under load
    When callers send requests all the while
    And operators declare engine e1 to decode only
    Then within 60 seconds engine e1 decodes only
    And every answer came whole

  Scenario: The last fitting engine is never taken out
    When the other engines are dead
    And operators declare version 2
    And 60 seconds pass
    Then engine e0 still has version 1
    And a request is answered whole
