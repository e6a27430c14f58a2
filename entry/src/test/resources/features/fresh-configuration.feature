Feature: Only a fresh configuration is used

  Scenario: A change is in force within four seconds
    Given the control members accept a service "letters"
    When 1000 ms pass
    Then the entry is at the latest revision

  Scenario: An entry that is cut off silently sheds within four seconds
    Given an upstream "one" that answers "one"
    When the control members go silent
    And 4000 ms pass
    And a caller gets a request
    Then the caller is told "not-run" with code "configuration-stale" at once
    And the entry is not ready

  Scenario: Without a leader a majority of the members keeps the configuration fresh
    When the control members have no leader
    And 8000 ms pass
    Then the entry is ready

  Scenario: Without a leader and without a majority the entry sheds
    When the control members have no leader
    And only 1 control member is reachable
    And 4000 ms pass
    Then the entry is not ready

  Scenario: A lower revision is refused
    Given the control members accept a service "letters"
    When 1000 ms pass
    And the leader answers with revision 1
    And 4000 ms pass
    Then the entry is at the latest revision
    And the entry is not ready

  Scenario: A restarted entry without a leader does not start from an older revision
    Given the control members have no leader
    When the entry is restarted
    And 8000 ms pass
    Then the entry is not ready
