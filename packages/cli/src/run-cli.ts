import { Builtins, Cli, UsageError, type BaseContext, type CommandClass } from 'clipanion';
import * as commandTable from './commands/index.js';
import { describeBadUsage } from './describe-bad-usage.js';
import { EXIT_CODES } from './exit-codes.js';

const BINARY_NAME = 'laburnumshift';

/**
 * Parses the command line and runs the command. Usage errors are printed and end with exit code 2.
 *
 * @param context streams and environment; default to those of the process
 * @returns the exit code, see `EXIT_CODES`
 */
export async function runCli(args: readonly string[], context: Partial<BaseContext> = {}): Promise<number> {
  const commands: readonly CommandClass[] = Object.values(commandTable);
  const cli = new Cli({ binaryLabel: 'laburnumshift', binaryName: BINARY_NAME, enableColors: false });
  for (const command of [...commands, Builtins.HelpCommand]) cli.register(command);
  const fullContext = { ...Cli.defaultContext, ...context };
  try {
    if (args.length === 0) throw new UsageError('no command is given');
    const command = cli.process([...args], fullContext);
    return await cli.run(command, fullContext);
  } catch (error) {
    const text = describeBadUsage(args, commands, cli, error);
    const output = args.includes('--json') ? JSON.stringify({ result: 'usage', message: text }) : text;
    (args.includes('--json') ? fullContext.stdout : fullContext.stderr).write(`${output}\n`);
    return EXIT_CODES.usage;
  }
}
