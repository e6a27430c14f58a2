Feature: A connection that went silent is replaced and its upstream is not blamed

  Scenario: An idempotent request on a silent connection is answered over a new one
    Given an upstream "one" that answers "one"
    When a caller gets a request
    And every open connection to upstream "one" goes silent
    And a caller gets a request and does not wait
    And 1000 ms pass after it reached the upstream
    Then the waiting caller gets "one"
    And the replaced connections are counted
    And upstream "one" is still used
