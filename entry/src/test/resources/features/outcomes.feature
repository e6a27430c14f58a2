Feature: Every request ends with an answer that says what is known
  An answer that is not an upstream's says not-run only on proof, and otherwise unknown.

  Scenario: An upstream that refuses connections proves that the request was not run
    Given an upstream "one" that is gone
    When a caller posts a request
    Then the caller is told "not-run" with code "connection-lost" at once
    And the caller is told when to come back

  Scenario: A non-idempotent request whose connection broke is never sent again
    Given an upstream "one" that closes the connection after each request
    And an upstream "two" that closes the connection after each request
    When a caller posts a request
    Then the caller is told "unknown" with code "upstream-failed" at once
    And the upstreams got 1 request altogether

  Scenario: An idempotent request whose connection broke is tried at another upstream
    Given an upstream "one" that closes the connection after each request
    And an upstream "two" that answers "whole"
    When 4 callers get a request each
    Then every caller got "whole"

  Scenario: A request that the upstream itself did not run is tried again although it is not idempotent
    Given an upstream "one" that says that it did not run the request
    And an upstream "two" that answers "whole"
    When 4 callers post a request each
    Then every caller got "whole"

  Scenario: A deadline that passes at the upstream leaves the outcome unknown
    Given an upstream "one" that never answers
    When a caller posts a request with a timeout of 500 ms
    And 500 ms pass
    Then the caller is told "unknown" with code "deadline-exceeded" at once

  Scenario: Retries stay within the budget
    Given an upstream "one" that closes the connection after each request
    And an upstream "two" that closes the connection after each request
    When 40 callers get a request each
    Then the upstreams got at most 56 requests altogether
