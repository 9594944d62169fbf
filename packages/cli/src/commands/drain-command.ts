import { Command } from 'clipanion';
import { CliCommand } from '../cli-command.js';
import type { CommandResult } from '../command-result.js';
import { OPTIONS } from '../options.js';
import { runNodeCall } from '../run-node-call.js';

const renderBody = (): string =>
  'the node drains: it is not ready, finishes what it has and exits; status on another node shows when it is gone';

/** `drain`: starts the graceful shutdown of a node. */
export class DrainCommand extends CliCommand {
  static override paths = [['drain']];
  static override usage = Command.Usage({
    description: 'Let a node finish its work and exit.',
    examples: [['Drain a node before its host is replaced', '$0 drain --node http://10.0.0.5:8081']],
  });

  node = OPTIONS.node();
  token = OPTIONS.token();

  runCommand(): Promise<CommandResult> {
    return runNodeCall(renderBody, this.node, this.token, 'POST', '/drain');
  }
}
