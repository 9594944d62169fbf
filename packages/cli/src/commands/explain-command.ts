import { Command, Option } from 'clipanion';
import { CliCommand } from '../cli-command.js';
import type { CommandResult } from '../command-result.js';
import { OPTIONS } from '../options.js';
import { renderTraces } from '../explain/render-traces.js';
import { TRACE_SCHEMA } from '../explain/trace-schema.js';
import { renderJson } from '../render-json.js';
import { runNodeCall } from '../run-node-call.js';

const renderBody = (body: unknown): string => {
  const parsed = TRACE_SCHEMA.safeParse(body);
  return parsed.success ? renderTraces(parsed.data) : renderJson(body);
};

/** `explain`: shows the recorded steps of a request on all nodes. */
export class ExplainCommand extends CliCommand {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    description: 'Show the steps of a request on all nodes.',
    details:
      'Prints the candidates with their estimates, where the request went and what happened then. A node keeps the ' +
      'steps of its last 2,000 requests; the caller finds the id in x-request-id of the answer.',
    examples: [['Explain a request', '$0 explain 0198c5a2-7d11 --node http://10.0.0.5:8081']],
  });

  request = Option.String({ name: 'request-id' });
  node = OPTIONS.node();
  token = OPTIONS.token();

  runCommand(): Promise<CommandResult> {
    return runNodeCall(
      renderBody,
      this.node,
      this.token,
      'GET',
      `/explain/${encodeURIComponent(this.request)}`,
    );
  }
}
