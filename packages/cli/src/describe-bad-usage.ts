import type { CommandClass } from 'clipanion';
import { computeDistance } from './compute-distance.js';

/** Describes what is wrong with a command line and what to type instead: an example of the nearest command. */
export function describeBadUsage(
  args: readonly string[],
  commands: readonly CommandClass[],
  binaryName: string,
  error: unknown,
): string {
  const word = args[0] ?? '';
  const named = commands.flatMap((command) => {
    const name = command.paths?.[0]?.[0];
    return name === undefined ? [] : [{ name, example: command.usage?.examples?.[0]?.[1] ?? `$0 ${name}` }];
  });
  const [nearest] = named.sort((a, b) => computeDistance(word, a.name) - computeDistance(word, b.name));
  const names = named.map(({ name }) => name).sort();
  const problem =
    word === ''
      ? 'no command is given'
      : names.includes(word)
        ? (error instanceof Error ? error.message : String(error)).split('\n')[0]
        : `there is no command '${word}'`;
  const example = (word === '' ? '$0 --help' : (nearest?.example ?? '$0 --help')).replace('$0', binaryName);
  return `${problem ?? ''}\nType for example: ${example}\nCommands: ${names.join(', ')}`;
}
