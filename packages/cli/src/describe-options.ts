import type { Definition } from 'clipanion';
import { computeDistance } from './compute-distance.js';

/** Describes the first unknown option or the first missing required option, or returns `undefined` if there is neither. */
export function describeOptions(args: readonly string[], definition: Definition): string | undefined {
  const options = definition.options.map(({ definition: text, required }) => ({
    name: text.split(/[ ,]/)[0] ?? '',
    required,
  }));
  const givenNames = args.filter((arg) => arg.startsWith('--')).map((arg) => arg.split('=')[0] ?? arg);
  const unknown = givenNames.find(
    (name) => name !== '--help' && !options.some((option) => option.name === name),
  );
  if (unknown !== undefined) {
    const [nearest] = options
      .map(({ name }) => name)
      .sort((a, b) => computeDistance(unknown, a) - computeDistance(unknown, b));
    return `there is no option ${unknown}; the nearest is ${nearest ?? '--help'}`;
  }
  const missing = options.find(({ name, required }) => required && !givenNames.includes(name));
  return missing === undefined ? undefined : `${missing.name} is missing`;
}
