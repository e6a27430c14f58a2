Feature: A non-idempotent request with a key runs at most once
  The key is reserved in the replicated ledger before the request is dispatched.

  Scenario: A resend gets the kept answer without running again
    Given an upstream "one" that answers "invoice 7"
    When a caller posts a request with key "k1"
    And the caller posts it again with key "k1"
    Then both times the caller got "invoice 7"
    And the upstreams got 1 request altogether

  Scenario: A resend at another entry gets the kept answer
    Given a second entry
    And an upstream "one" that answers "invoice 7"
    When a caller posts a request with key "k1"
    And the caller posts it again at the second entry with key "k1"
    Then both times the caller got "invoice 7"
    And the upstreams got 1 request altogether

  Scenario: A resend waits for the attempt in flight
    Given an upstream "one" that holds requests
    When a caller posts a request with key "k1" and does not wait
    And the caller posts it again with key "k1" and does not wait
    And the upstream answers the held request with "invoice 7"
    And 100 ms pass after the resend has begun to wait
    Then both callers got "invoice 7"
    And the upstreams got 1 request altogether

  Scenario: A resend after the death of the entry is told that the outcome is unknown
    Given a second entry
    And an upstream "one" that holds requests
    When a caller posts a request with key "k1" and does not wait
    And the first entry dies
    And 11000 ms pass
    And the caller posts it again at the second entry with key "k1"
    Then the caller is told "unknown" with code "outcome-unknown" at once
    And the upstreams got 1 request altogether

  Scenario: Without a leader nothing is dispatched
    Given an upstream "one" that answers "invoice 7"
    And the control members have no leader
    When a caller posts a request with key "k1"
    Then the caller is told "not-run" with code "no-leader" at once
    And the upstreams got 0 requests altogether

  Scenario: A request that was not run frees its key
    Given an upstream "one" that is gone
    When a caller posts a request with key "k1"
    Then the caller is told "not-run" with code "connection-lost" at once
    And the key "k1" is free

  Scenario: The same key with another body is refused
    Given an upstream "one" that answers "invoice 7"
    When a caller posts a request with key "k1"
    And the caller posts another body with key "k1"
    Then the caller is told "not-run" with code "operation-reused" at once
