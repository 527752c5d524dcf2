Feature: A credit is booked at most once

  Scenario: A repeated request gets the first answer
    Given a system with 2 entries and 2 ledgers
    When a caller posts the credit "r1" through each entry
    Then both answers are the same
    And the credit "r1" is booked once

  Scenario: The same key with another body is refused
    Given a system with 1 entries and 1 ledgers
    When a caller posts the credit "r1" with two amounts
    Then the second answer is refused with "idempotency_key_reused"
    And the credit "r1" is booked once

  Scenario: The agent is killed after the ledger has booked the credit
    Given a system with 1 entries and 2 ledgers
    And the ledgers answer after 2000 ms
    When the agent is killed while the ledger processes the credit "r1"
    And the caller retries the credit "r1"
    Then no answer says that the credit "r1" was not run
    And the credit "r1" is booked once

  Scenario: The key-value service is unavailable
    Given a system with 1 entries and 1 ledgers
    When the key-value service becomes unavailable
    And a caller posts the credit "r1" with a deadline of 1500 ms
    Then the answer says "not run" close to its deadline
    And the credit "r1" is never booked

  Scenario: The reply to a claim is lost
    Given a system with 1 entries and 1 ledgers
    When the key-value service loses 2 replies
    And a caller posts the credit "r1"
    Then the credit "r1" is booked once

  Scenario: Two teams use the same idempotency key
    Given a system with 1 entries and 1 ledgers
    When the teams alpha and beta post credits with the same idempotency key
    Then two credits are booked
