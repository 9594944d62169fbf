import { checkDeclarations } from '@laburnumshift/check-declarations';
import { Command, Option } from 'clipanion';
import { CliCommand } from '../cli-command.js';
import type { CommandResult } from '../command-result.js';

/** `check`: validates declaration files without a connection to the platform. */
export class CheckCommand extends CliCommand {
  static override paths = [['check']];
  static override usage = Command.Usage({
    description: 'Check the declaration files below a directory.',
    details: 'Collects *.laburnum.jsonc files and lists all problems with file, line and column.',
    examples: [['Check the files of this repository', '$0 check ./services']],
  });

  directory = Option.String({ name: 'directory' });

  async runCommand(): Promise<CommandResult> {
    const segments = await checkDeclarations(this.directory);
    const counts = {
      files: segments.length,
      accounts: segments.flatMap((segment) => segment.accounts).length,
      services: segments.flatMap((segment) => segment.services).length,
      pools: segments.flatMap((segment) => segment.pools).length,
      routes: segments.flatMap((segment) => segment.routes).length,
    };
    const countTexts = Object.entries(counts).map(([name, count]) => `${String(count)} ${name}`);
    return { result: 'ok', text: `no problems in ${countTexts.join(', ')}`, value: counts };
  }
}
