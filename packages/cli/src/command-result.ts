import type { EXIT_CODES } from './exit-codes.js';

/** The result of a command. Prints `text`, or `{result, ...value}` as JSON with `--json`. */
export interface CommandResult {
  readonly result: keyof typeof EXIT_CODES;
  readonly text: string;
  readonly value: Readonly<Record<string, unknown>>;
}
