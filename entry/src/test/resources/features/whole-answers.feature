Feature: Every caller gets the whole answer to its own request

  Scenario: A short answer that is cut is tried again before anything is passed on
    Given an upstream "one" that cuts its answer short once and then answers "whole"
    When a caller gets a request
    Then the caller got "whole"

  Scenario: A long answer that is cut resets the caller's connection
    Given an upstream "one" that cuts a long answer short
    When a raw caller gets a request
    Then the raw caller sees a connection that broke before the end of the answer

  Scenario: An answer without a length is not taken for whole
    Given an upstream "one" that closes the connection in place of an end
    When a caller posts a request
    Then the caller is told "unknown" with code "upstream-failed" at once

  Scenario: A late answer never reaches another request
    Given an upstream "one" that answers each first request on a connection late
    When a caller posts a request with a timeout of 500 ms
    And 500 ms pass
    Then the caller is told "unknown" with code "deadline-exceeded" at once
    When the upstream now answers "own"
    And the late answer "late" is written
    And a caller gets a request
    Then the caller got "own"

  Scenario: A body beyond the replay bound is never sent twice
    Given an upstream "one" that closes the connection after each request
    And an upstream "two" that closes the connection after each request
    When a caller puts a body of 200000 bytes
    Then the caller is told "unknown" with code "upstream-failed" at once
    And the upstreams got 1 request altogether

  Scenario: A large body arrives whole
    Given an upstream "one" that answers with the length of the body
    When a caller puts a body of 3000000 bytes
    Then the caller got "3000000"
