import type { Definition } from 'clipanion';
import { computeDistance } from './compute-distance.js';

/** Describes the first option of a command line that the command does not know, or a required one that is missing. */
export function describeOptions(args: readonly string[], definition: Definition): string | undefined {
  const options = definition.options.map(({ definition: text, required }) => ({
    name: text.split(/[ ,]/)[0] ?? '',
    required,
  }));
  const given = args.filter((arg) => arg.startsWith('--')).map((arg) => arg.split('=')[0] ?? arg);
  const unknown = given.find((name) => name !== '--help' && !options.some((option) => option.name === name));
  if (unknown !== undefined) {
    const [nearest] = options
      .map(({ name }) => name)
      .sort((a, b) => computeDistance(unknown, a) - computeDistance(unknown, b));
    return `there is no option ${unknown}; the nearest is ${nearest ?? '--help'}`;
  }
  const missing = options.find(({ name, required }) => required && !given.includes(name));
  return missing === undefined ? undefined : `${missing.name} is missing`;
}
