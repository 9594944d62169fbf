import { Command } from 'clipanion';
import { CliCommand } from '../cli-command.js';
import type { CommandResult } from '../command-result.js';
import { OPTIONS } from '../options.js';
import { runNodeCall } from '../run-node-call.js';

/** `drain`: begins the graceful shutdown of a node. */
export class DrainCommand extends CliCommand {
  static override paths = [['drain']];
  static override usage = Command.Usage({
    description: 'Let a node finish its work and exit.',
    examples: [['Drain a node before its host is replaced', '$0 drain --node http://10.0.0.5:8081']],
  });

  node = OPTIONS.node();
  token = OPTIONS.token();

  runCommand(): Promise<CommandResult> {
    return runNodeCall(this.node, this.token, 'POST', '/drain');
  }
}
