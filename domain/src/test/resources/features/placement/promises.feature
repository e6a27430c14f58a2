Feature: Placement keeps its promises

  Scenario: No worker is committed beyond what it offers
    Given 2 workers of 8 processors
    When 40 jobs of 1 processor are submitted under profile "bulk"
    And 3 seconds pass
    Then 16 jobs run
    And no worker is committed beyond what it offers

  Scenario: The committed draw stays under the cap
    Given 4 workers of 8 processors
    And a power cap of 120 watts
    When 30 jobs of 1 processor are submitted under profile "bulk"
    And 3 seconds pass
    Then the committed draw is at most 120 watts

  Scenario: A lowered cap is met by the least urgent profile first
    Given 4 workers of 8 processors
    And a power cap of 400 watts
    And 4 jobs of 1 processor run under profile "letters"
    And 4 jobs of 1 processor run under profile "bulk"
    When the power cap is lowered to 65 watts
    And 3 seconds pass
    Then the committed draw is at most 65 watts
    And every job under profile "letters" runs at full speed

  Scenario: The work of a lost worker resumes exactly once
    Given 2 workers of 8 processors
    And 4 jobs of 1 processor run under profile "letters"
    When worker 1 is lost
    And 3 seconds pass
    Then 4 jobs run
    And no job runs in two places

  Scenario: Evicted work resumes from its last checkpoint
    Given 1 workers of 8 processors
    And 8 jobs of 1 processor run under profile "bulk"
    When 1 jobs of 4 processor are submitted under profile "urgent"
    And 4 seconds pass
    Then every job under profile "urgent" runs at full speed
    When every job under profile "urgent" completes
    And 4 seconds pass
    Then 8 jobs run
    And no job runs in two places
    And every evicted job resumed from its last checkpoint

  Scenario: A cancelled job frees what it held and never runs again
    Given 1 workers of 8 processors
    And 4 jobs of 1 processor run under profile "letters"
    When every job under profile "letters" is cancelled
    And 3 seconds pass
    Then 0 jobs run
    And nothing is committed

  Scenario: A job that can never run says why and blocks nobody
    Given 1 workers of 8 processors
    When 1 jobs of 64 processor are submitted under profile "letters"
    And 1 jobs of 1 processor are submitted under profile "bulk"
    And 2 seconds pass
    Then 1 jobs run
    And the job under profile "letters" is unrunnable because "no worker offers that"
