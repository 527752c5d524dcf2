Feature: Each caller gets the complete answer to its own request

  Scenario: An entry is killed while answers are streamed
    Given a system with 2 entries and 2 engines
    When 6 answers are streamed through the first entry
    And the first entry is killed after some events
    And the callers resume their streams through the second entry
    Then every caller has the complete answer to its own prompt
    And no prompt was run twice

  Scenario: The agent's connections are reset while answers are streamed
    Given a system with 1 entries and 1 engines
    When 6 answers are streamed through an agent behind a proxy
    And the proxy resets its connections
    Then every caller has the complete answer to its own prompt
    And no prompt was run twice

  Scenario: The agent is killed and restarted while answers are streamed
    Given a system with 1 entries and 1 engines
    When 3 answers are streamed through the first entry
    And the agent is killed and restarted
    Then every caller has the complete answer to its own prompt
    And no prompt was run twice

  Scenario: A team can't resume the run of another team
    Given a system with 1 entries and 1 engines
    When 1 answers are streamed through the first entry
    And another team tries to resume the stream
    Then the request is refused with "run_not_found"

  Scenario: A caller disconnects and does not return
    Given an agent that cancels a run after one second without a reader
    When a caller disconnects while a long answer is streamed
    Then the engine cancels the run

  Scenario: The entry is stopped gracefully
    Given a system with 2 entries and 2 engines
    When 4 answers are streamed through the first entry
    And the first entry is terminated
    Then every caller has the complete answer to its own prompt

  Scenario: An agent is stopped gracefully
    Given a system with 1 entries and 2 engines
    When 6 answers are streamed through the first entry
    And one agent is terminated
    Then every caller has the complete answer to its own prompt
    And new prompts are answered by the other engine
