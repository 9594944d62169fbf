import { FindingsError, renderFinding } from '@laburnumshift/errors';
import { Command, Option, UsageError } from 'clipanion';
import type { CommandResult } from './command-result.js';
import { EXIT_CODES } from './exit-codes.js';

/** Names and error texts of peers may hold control characters, which could hide or forge lines of a terminal. */
const CONTROL = /(?!\n)\p{Cc}/gu;

const describeFailure = (error: unknown): CommandResult => {
  if (error instanceof FindingsError) {
    const text = error.findings.map(renderFinding).join('\n');
    return { result: 'refused', text, value: { findings: error.findings } };
  }
  if (error instanceof UsageError) {
    return { result: 'usage', text: error.message, value: { message: error.message } };
  }
  throw error;
};

/** A command that returns its result as data; prints it and turns it into the exit code. */
export abstract class CliCommand extends Command {
  json = Option.Boolean('--json', false, { description: 'Print the result as JSON.' });

  abstract runCommand(): Promise<CommandResult>;

  async execute(): Promise<number> {
    const { result, text, value } = await this.runCommand().catch(describeFailure);
    if (this.json) this.context.stdout.write(`${JSON.stringify({ result, ...value })}\n`);
    else
      (result === 'ok' ? this.context.stdout : this.context.stderr).write(`${text.replace(CONTROL, ' ')}\n`);
    return EXIT_CODES[result];
  }
}
