import type { CopyState } from '@laburnumshift/forward-types';
import { isCount } from './is-count.js';
import type { StateMessage } from './state-message.js';

const isState = (state: unknown): boolean =>
  Array.isArray(state) &&
  state.length === 5 &&
  typeof state[0] === 'string' &&
  state.slice(1, 4).every(isCount) &&
  (state[4] === null || isCount(state[4]));

/**
 * Decodes the message of a relay about its copies of platform objects; returns `undefined` when it is malformed.
 *
 * @returns `echo` is the sequence number of the last report that the relay received from this host, `heldMs` the time from its receipt
 *   to the message in milliseconds
 */
export function decodeStateMessage(message: readonly unknown[]):
  | {
      readonly host: string;
      readonly echo: number;
      readonly heldMs: number;
      readonly states: readonly CopyState[];
    }
  | undefined {
  const [, host, bornMs, echo, heldMs, states] = message as Partial<StateMessage>;
  const isValid =
    typeof host === 'string' &&
    [bornMs, echo, heldMs].every(isCount) &&
    Array.isArray(states) &&
    states.every(isState);
  if (!isValid) return undefined;
  const encodedStates = states as StateMessage[5];
  return {
    host,
    echo: Number(echo),
    heldMs: Number(heldMs),
    states: encodedStates.map(([kind, revision, newest, ageMs, recoveredMs]) => ({
      kind,
      revision,
      newest,
      ageMs,
      recoveredMs: recoveredMs ?? Infinity,
    })),
  };
}
