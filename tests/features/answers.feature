Feature: Each caller gets the whole answer to its own request

  Scenario: The entry dies while an answer streams
    Given a system with 2 entries and 2 engines
    When 6 answers stream through the first entry
    And the first entry dies after some parts
    And the callers resume through the second entry
    Then every caller has the whole answer to its own prompt
    And no prompt was run twice

  Scenario: The agent's connections are cut while answers stream
    Given a system with 1 entries and 1 engines
    When 6 answers stream through a proxied agent
    And the proxy resets its connections
    Then every caller has the whole answer to its own prompt
    And no prompt was run twice

  Scenario: The agent dies while answers stream and starts again
    Given a system with 1 entries and 1 engines
    When 3 answers stream through the first entry
    And the agent is killed and started again
    Then every caller has the whole answer to its own prompt
    And no prompt was run twice

  Scenario: Another team's run can't be resumed
    Given a system with 1 entries and 1 engines
    When 1 answers stream through the first entry
    And another team asks for the rest
    Then it is refused with "run_not_found"

  Scenario: A caller leaves for good
    Given an agent that keeps a run without reader for a second
    When a caller leaves while a long answer streams
    Then the engine stops the run

  Scenario: The entry is stopped gracefully
    Given a system with 2 entries and 2 engines
    When 4 answers stream through the first entry
    And the first entry is terminated
    Then every caller has the whole answer to its own prompt

  Scenario: An agent is stopped gracefully
    Given a system with 1 entries and 2 engines
    When 6 answers stream through the first entry
    And one agent is terminated
    Then every caller has the whole answer to its own prompt
    And new prompts are answered by the other engine
