import { holdSignals, type HeldSignals } from '@laburnumshift/run-daemon';
import { Builtins, Cli, UsageError, type BaseContext, type CommandClass } from 'clipanion';
import * as commandTable from './commands/index.js';
import { ServeCommand } from './commands/serve-command.js';
import { describeBadUsage } from './describe-bad-usage.js';
import { EXIT_CODES } from './exit-codes.js';

const BINARY_NAME = 'laburnumshift';

/**
 * Parses the command line and runs the command. Usage errors are printed and end with exit code 2.
 *
 * @param context streams and environment; default to those of the process
 * @param signals signals of the process; they keep their default effect in commands that run no daemon
 * @returns the exit code, see `EXIT_CODES`
 */
export async function runCli(
  args: readonly string[],
  context: Partial<BaseContext> = {},
  signals: HeldSignals = holdSignals(),
): Promise<number> {
  const commands: readonly CommandClass[] = Object.values(commandTable);
  const cli = new Cli({ binaryLabel: 'laburnumshift', binaryName: BINARY_NAME, enableColors: false });
  for (const command of [...commands, Builtins.HelpCommand]) cli.register(command);
  const fullContext = { ...Cli.defaultContext, ...context };
  try {
    if (args.length === 0) throw new UsageError('no command is given');
    const command = cli.process([...args], fullContext);
    if (command instanceof ServeCommand) command.signals = signals;
    else signals.release();
    return await cli.run(command, fullContext);
  } catch (error) {
    signals.release();
    const text = describeBadUsage(args, commands, cli, error);
    const output = args.includes('--json') ? JSON.stringify({ result: 'usage', message: text }) : text;
    (args.includes('--json') ? fullContext.stdout : fullContext.stderr).write(`${output}\n`);
    return EXIT_CODES.usage;
  }
}
