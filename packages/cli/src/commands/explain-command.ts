import { Command, Option } from 'clipanion';
import { CliCommand } from '../cli-command.js';
import type { CommandResult } from '../command-result.js';
import { OPTIONS } from '../options.js';
import { runNodeCall } from '../run-node-call.js';

/** `explain`: shows what happened to a request. */
export class ExplainCommand extends CliCommand {
  static override paths = [['explain']];
  static override usage = Command.Usage({
    description: 'Show the steps of a request on all nodes.',
    examples: [['Explain a request', '$0 explain 0198c5a2-7d11 --node http://10.0.0.5:8081']],
  });

  request = Option.String({ name: 'request-id' });
  node = OPTIONS.node();
  token = OPTIONS.token();

  runCommand(): Promise<CommandResult> {
    return runNodeCall(this.node, this.token, 'GET', `/explain/${encodeURIComponent(this.request)}`);
  }
}
