Feature: One answer, whole, and at most once where asked

  Each scenario sends a request to e1, lets something fail while e1 reads the
  prompt (at 40 ms) or writes the answer (at 600 ms), and sends it again with
  the same key to e2, as a caller does whose connection broke. Then all that
  failed is put right, and the caller goes on asking until it knows.

  Background:
    Given instances e1, e2 and e3 in domains a, b and c before five engines

  Scenario Outline: A request that may be repeated is answered whole
    # The caller sees one whole answer: e2 joins e1's run while e1 can be
    # reached, and else takes the key over, releases what e1's run held and
    # runs it again. Nothing is held for the lost run afterwards.
    Given a request that may be repeated
    When the caller sends it to e1
    And after <at> ms <failure>
    And after 200 ms the caller sends it to e2
    And after 9 seconds everything is put right
    Then the caller gets the whole answer
    And no answer is broken, and nothing that ran is said not to have run
    And within 20 seconds no engine holds memory

    Examples:
      | at  | failure                        |
      | 40  | nothing fails                  |
      | 600 | nothing fails                  |
      | 40  | the caller hangs up            |
      | 600 | the caller hangs up            |
      | 40  | e1 dies                        |
      | 600 | e1 dies                        |
      | 600 | e1 dies and comes back         |
      | 40  | e1 is paused                   |
      | 600 | e1 is paused                   |
      | 40  | the engines in use die         |
      | 600 | the engines in use die         |
      | 40  | all links stall                |
      | 600 | every engine loses an answer   |
      | 40  | the log is down                |
      | 40  | domain a is cut off            |
      | 600 | domain a is cut off            |
      | 600 | e2 and e3 die and come back    |

  Scenario Outline: A request that may not be repeated runs at most once
    # The caller sees its whole answer, or is told that the outcome is
    # unknown; the engines never see a second dispatch. e2 learns from the
    # key's record or from the claim on the log that e1 has the key.
    Given a request that may not be repeated
    When the caller sends it to e1
    And after <at> ms <failure>
    And after 200 ms the caller sends it to e2
    And after 9 seconds everything is put right
    Then the caller gets the whole answer or is told that it is unknown
    And it was dispatched at most once
    And no answer is broken, and nothing that ran is said not to have run
    And within 20 seconds no engine holds memory

    Examples:
      | at  | failure                        |
      | 40  | nothing fails                  |
      | 600 | the caller hangs up            |
      | 5   | e1 dies                        |
      | 40  | e1 dies                        |
      | 600 | e1 dies                        |
      | 600 | e1 dies and comes back         |
      | 5   | e1 is paused                   |
      | 40  | e1 is paused                   |
      | 600 | e1 is paused                   |
      | 40  | the engines in use die         |
      | 600 | the engines in use die         |
      | 40  | all links stall                |
      | 600 | every engine loses an answer   |
      | 0   | the log is down                |
      | 0   | the log loses its next answers |
      | 0   | domain a is cut off            |
      | 40  | domain a is cut off            |
      | 600 | domain a is cut off            |

  Scenario Outline: Two failures at once
    # The second failure comes while the first still lasts. The promises are
    # the same; what may be repeated is answered, what may not runs once.
    Given a request that <marking>
    When the caller sends it to e1
    And after <at> ms <failure>
    And after 50 ms <other>
    And after 200 ms the caller sends it to e2
    And after 9 seconds everything is put right
    Then the caller gets the whole answer or is told that it is unknown
    And it was dispatched at most once unless it may be repeated
    And no answer is broken, and nothing that ran is said not to have run
    And within 20 seconds no engine holds memory

    Examples:
      | marking             | at  | failure                      | other                          |
      | may be repeated     | 600 | e1 dies                      | the engines in use die         |
      | may be repeated     | 600 | e1 is paused                 | the engines in use die         |
      | may be repeated     | 40  | all links stall              | e1 dies                        |
      | may be repeated     | 600 | domain a is cut off          | e3 dies                        |
      | may be repeated     | 600 | the caller hangs up          | every engine loses an answer   |
      | may not be repeated | 5   | the log is down              | e1 dies                        |
      | may not be repeated | 0   | the log loses its next answers | e1 is paused                 |
      | may not be repeated | 600 | e1 is paused                 | domain a is cut off            |
      | may not be repeated | 600 | domain a is cut off          | the log is down                |
      | may not be repeated | 600 | every engine loses an answer | e1 dies                        |
      | may not be repeated | 40  | e3 dies                      | e1 is paused                   |
      | may not be repeated | 600 | e1 dies                      | e1 dies and comes back         |
