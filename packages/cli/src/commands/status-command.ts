import { Command } from 'clipanion';
import { CliCommand } from '../cli-command.js';
import type { CommandResult } from '../command-result.js';
import { OPTIONS } from '../options.js';
import { runNodeCall } from '../run-node-call.js';

/** `status`: shows the state of all nodes. */
export class StatusCommand extends CliCommand {
  static override paths = [['status']];
  static override usage = Command.Usage({
    description: 'Show the state of all nodes, as one node sees it.',
    examples: [['Ask a node', '$0 status --node http://10.0.0.5:8081']],
  });

  node = OPTIONS.node();
  token = OPTIONS.token();

  runCommand(): Promise<CommandResult> {
    return runNodeCall(this.node, this.token, 'GET', '/status');
  }
}
