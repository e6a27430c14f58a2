Feature: A planned stop cuts off no request

  Scenario: Requests in flight finish, later ones are refused as not run
    Given an upstream "one" that holds requests
    When a caller gets a request and does not wait
    And the entry is told to stop
    Then the entry is not ready
    When a caller gets a second request and does not wait
    And 3000 ms pass
    And a caller gets a third request
    Then the caller is told "not-run" with code "stopping" at once
    When the upstream answers the 2 held requests with "whole"
    Then both waiting callers get "whole"
    And the entry has stopped and cut off 0 requests
