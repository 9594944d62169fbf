import type { Cli, CommandClass } from 'clipanion';
import { computeDistance } from './compute-distance.js';
import { describeOptions } from './describe-options.js';

/** Describes what is wrong with a command line and what to type instead: an example of the nearest command. */
export function describeBadUsage(
  args: readonly string[],
  commands: readonly CommandClass[],
  cli: Cli,
  error: unknown,
): string {
  const word = args[0] ?? '';
  const named = commands.flatMap((command) => {
    const name = command.paths?.[0]?.[0];
    return name === undefined ? [] : [{ name, example: command.usage?.examples?.[0]?.[1] ?? `$0 ${name}` }];
  });
  const [nearest] = named.sort((a, b) => computeDistance(word, a.name) - computeDistance(word, b.name));
  const names = named.map(({ name }) => name).sort();
  const definition = cli.definitions().find(({ path }) => path === `${cli.binaryName} ${word}`);
  const [message] = (error instanceof Error ? error.message : String(error)).split('\n');
  const problem =
    word === ''
      ? 'no command is given'
      : definition === undefined
        ? `there is no command '${word}'`
        : (describeOptions(args, definition) ?? message ?? '');
  const isWord = word !== '' && !word.startsWith('-');
  const example = (isWord ? (nearest?.example ?? '$0 --help') : '$0 --help').replace('$0', cli.binaryName);
  return `${problem}\nType for example: ${example}\nCommands: ${names.join(', ')}`;
}
