import type { EXIT_CODES } from './exit-codes.js';

/** What a command prints: text for people, or `{result, ...value}` with `--json`. */
export interface CommandResult {
  readonly result: keyof typeof EXIT_CODES;
  readonly text: string;
  readonly value: Readonly<Record<string, unknown>>;
}
