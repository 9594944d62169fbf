import { Command, Option } from 'clipanion';
import { CliCommand } from '../cli-command.js';
import type { CommandResult } from '../command-result.js';
import { describeOutcome } from '../describe-outcome.js';
import { OPTIONS } from '../options.js';
import { runNodeCall } from '../run-node-call.js';

/** `outcome`: shows whether a non-idempotent call ran. */
export class OutcomeCommand extends CliCommand {
  static override paths = [['outcome']];
  static override usage = Command.Usage({
    description: 'Show whether a non-idempotent call ran.',
    details: 'The body of a stored answer is printed with --json only.',
    examples: [
      [
        'Look up a booking',
        '$0 outcome booking 0198c5a2-7d11 --account front-desk --node http://10.0.0.5:8081',
      ],
    ],
  });

  service = Option.String({ name: 'service' });
  key = Option.String({ name: 'key' });
  account = Option.String('--account', { required: true, description: 'Client account that sent the key.' });
  node = OPTIONS.node();
  token = OPTIONS.token();

  runCommand(): Promise<CommandResult> {
    const path = `/outcome/${encodeURIComponent(this.service)}/${encodeURIComponent(this.key)}`;
    const query = new URLSearchParams({ account: this.account }).toString();
    return runNodeCall(describeOutcome, this.node, this.token, 'GET', `${path}?${query}`);
  }
}
