Feature: Upstreams come and go

  Scenario: A leaving upstream gets no new request
    Given an upstream "one" that answers "one"
    And an upstream "two" that answers "two"
    When upstream "one" announces that it leaves
    And 6 callers get a request each
    Then every caller got "two"

  Scenario: A leaving upstream gets no new request at an entry cut off from the others
    Given a second entry
    And an upstream "one" that answers "one"
    When the entries are cut off from each other
    And upstream "one" announces that it leaves
    And 3000 ms pass
    And a caller gets a request at the second entry
    Then the caller is told "not-run" with code "no-upstream" at once

  Scenario: An announcement spreads to the other entries
    Given a second entry
    And an upstream "one" that answers "one"
    When a caller gets a request at the second entry
    Then the caller got "one"

  Scenario: An upstream that vanished is found by expiry
    Given an upstream "one" that answers "one"
    When 2600 ms pass
    And a caller gets a request
    Then the caller is told "not-run" with code "no-upstream" at once

  Scenario: An older announcement that arrives late changes nothing
    Given an upstream "one" that answers "one"
    When upstream "one" announces that it leaves
    And the first announcement of upstream "one" arrives again
    And a caller gets a request
    Then the caller is told "not-run" with code "no-upstream" at once
