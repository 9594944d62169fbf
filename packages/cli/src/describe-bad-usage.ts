import type { Cli, CommandClass } from 'clipanion';
import { computeDistance } from './compute-distance.js';
import { describeOptions } from './describe-options.js';

/** Describes the error in a command line and appends an example of the command with the nearest name. */
export function describeBadUsage(
  args: readonly string[],
  commands: readonly CommandClass[],
  cli: Cli,
  error: unknown,
): string {
  const commandName = args[0] ?? '';
  const candidates = commands.flatMap((command) => {
    const name = command.paths?.[0]?.[0];
    return name === undefined ? [] : [{ name, example: command.usage?.examples?.[0]?.[1] ?? `$0 ${name}` }];
  });
  const [nearest] = candidates.sort(
    (a, b) => computeDistance(commandName, a.name) - computeDistance(commandName, b.name),
  );
  const names = candidates.map(({ name }) => name).sort();
  const definition = cli.definitions().find(({ path }) => path === `${cli.binaryName} ${commandName}`);
  const [message] = (error instanceof Error ? error.message : String(error)).split('\n');
  const problem =
    commandName === ''
      ? 'no command is given'
      : definition === undefined
        ? `there is no command '${commandName}'`
        : (describeOptions(args, definition) ?? message ?? '');
  const isCommandName = commandName !== '' && !commandName.startsWith('-');
  const example = (isCommandName ? (nearest?.example ?? '$0 --help') : '$0 --help').replace(
    '$0',
    cli.binaryName,
  );
  return `${problem}\nType for example: ${example}\nCommands: ${names.join(', ')}`;
}
