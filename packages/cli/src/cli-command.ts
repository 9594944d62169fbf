import { FindingsError, renderFinding } from '@laburnumshift/errors';
import { Command, Option, UsageError } from 'clipanion';
import type { CommandResult } from './command-result.js';
import { EXIT_CODES } from './exit-codes.js';

/** Control characters in names and error texts from peers could hide or forge terminal output. Line feeds are kept. */
const CONTROL_CHARACTERS = /(?!\n)\p{Cc}/gu;

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

/** Base class of the commands: prints the result of `runCommand` and returns its exit code. */
export abstract class CliCommand extends Command {
  json = Option.Boolean('--json', false, { description: 'Print the result as JSON.' });

  abstract runCommand(): Promise<CommandResult>;

  async execute(): Promise<number> {
    const { result, text, value } = await this.runCommand().catch(describeFailure);
    if (this.json) this.context.stdout.write(`${JSON.stringify({ result, ...value })}\n`);
    else
      (result === 'ok' ? this.context.stdout : this.context.stderr).write(
        `${text.replace(CONTROL_CHARACTERS, ' ')}\n`,
      );
    return EXIT_CODES[result];
  }
}
