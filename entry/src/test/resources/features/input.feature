Feature: Input from outside is bounded

  Scenario Outline: A malformed request is refused with a clear error and counted
    When a raw caller sends a request with header "<header>"
    Then the raw caller gets status <status> with code "<code>"
    And invalid input of kind "<kind>" is counted

    Examples:
      | header                          | status | code             | kind            |
      | Nettlering-Outcome: not-run     | 400    | invalid-argument | forged_header   |
      | Nettlering-Attempt: 7           | 400    | invalid-argument | forged_header   |
      | Connection: Idempotency-Key     | 400    | invalid-argument | forged_header   |
      | Nettlering-Timeout-Millis: -1   | 400    | invalid-argument | timeout         |
      | Nettlering-Idempotent: perhaps  | 400    | invalid-argument | idempotent      |
      | Content-Length: 99999999999     | 413    | too-large        | body_too_large  |

  Scenario: An oversized head is refused
    When a raw caller sends a head of 20000 bytes
    Then the raw caller gets status 413 with code "too-large"
    And invalid input of kind "head_too_large" is counted

  Scenario: A head that comes too slowly ends the connection
    When a raw caller sends half a head
    Then the connection is closed after 15000 ms
    And invalid input of kind "slow_head" is counted

  Scenario Outline: A malformed announcement is refused
    When an upstream announces <announcement>
    Then the announcement is refused with status <status>
    And invalid input of kind "announcement" is counted

    Examples:
      | announcement                                                                                                       | status |
      | {                                                                                                                  | 400    |
      | {"service":"previews"}                                                                                             | 400    |
      | {"service":"previews","instance":"x","address":"example:1","slots":8,"connections":60,"state":"SERVING"}           | 400    |
      | {"service":"previews","instance":"x","address":"127.0.0.1:1","slots":0,"connections":60,"state":"SERVING"}         | 400    |
      | {"service":"previews","instance":"x","address":"127.0.0.1:1","slots":8,"connections":60,"state":"SERVING","new":1} | 400    |
