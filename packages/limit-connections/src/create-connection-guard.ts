import { readMonotonicMs } from '@laburnumshift/clock';
import { CLOSE_REASONS } from './close-reasons.js';
import type { ConnectionGuard } from './connection-guard.js';
import type { GuardOptions } from './guard-options.js';

/** Memory of an open connection without a call: socket, parser and bookkeeping, bytes. */
const CONNECTION_BYTES = 8000;
/** Memory of a call in progress beside its body and answer: header fields, timers and the request to the server, bytes. */
const CALL_BYTES = 20_000;
/** Memory of an answer that waits for its caller beside the unread bytes: what was read ahead from its server, bytes. */
const UNREAD_ANSWER_BYTES = 65_536;
/** Fraction of the descriptors that is kept for connections to backend servers, if there may be so many. */
const SERVER_RATIO = 0.25;
/** Fraction of the idle timeout after which callers no longer reuse a connection. */
const REUSE_RATIO = 0.8;
/** Time after which a call whose request is not whole may be ended for another one, milliseconds: most bodies arrive within it. */
const MIN_INCOMPLETE_MS = 1000;
/** Fraction of the memory for callers that connections may take; the rest is for calls. */
const CONNECTION_RATIO = 0.5;
/** Time without reading after which an answer counts as unread, milliseconds: 64 kB take 75 ms on the slowest link. */
const MIN_UNREAD_MS = 300;

type WaitReason = Exclude<keyof typeof CLOSE_REASONS, 'full'>;
/** Order in which connections are closed, by what they wait for. */
const CLOSE_ORDER = ['incomplete', 'partial', 'idle', 'unread'] as const satisfies readonly WaitReason[];

interface ConnectionState {
  calls: number;
  /** The newest request has not arrived in whole. */
  isIncomplete: boolean;
  hasServed: boolean;
  unreadBytes: number;
  /** For what the connection waits, which allows closing it; `undefined` while a call is in progress. */
  waitReason: WaitReason | undefined;
  waitsSinceMs: number;
  readonly onClose: (reason: string) => void;
}

const getWaitReason = (state: ConnectionState): WaitReason | undefined => {
  if (state.unreadBytes > 0) return 'unread';
  if (state.calls === 0) return state.hasServed ? 'idle' : 'incomplete';
  return state.calls === 1 && state.isIncomplete ? 'partial' : undefined;
};

/** Creates a guard without connections. All decisions take constant time. */
export function createConnectionGuard(options: GuardOptions): ConnectionGuard {
  const { limits, countServerConnections, getIdleTimeoutMs } = options;
  const states = new Set<ConnectionState>();
  /** Waiting connections by what they wait for, each from the one that waits longest. */
  const waiting: Readonly<Record<WaitReason, Set<ConnectionState>>> = {
    incomplete: new Set(),
    partial: new Set(),
    idle: new Set(),
    unread: new Set(),
  };
  let calls = 0;
  let unreadBytes = 0;

  const updateWait = (state: ConnectionState): void => {
    const reason = getWaitReason(state);
    if (reason === state.waitReason) return;
    if (state.waitReason !== undefined) waiting[state.waitReason].delete(state);
    state.waitReason = reason;
    state.waitsSinceMs = readMonotonicMs();
    if (reason !== undefined) waiting[reason].add(state);
  };
  const removeState = (state: ConnectionState): void => {
    if (!states.delete(state)) return;
    if (state.waitReason !== undefined) waiting[state.waitReason].delete(state);
    calls -= state.calls;
    unreadBytes -= state.unreadBytes;
  };
  const countBytes = (): number => states.size * CONNECTION_BYTES + calls * CALL_BYTES + unreadBytes;
  /** Whether the descriptors suffice for one more connection beside those that calls may need to backend servers. */
  const hasConnectionDescriptor = (): boolean => {
    if (limits.maxDescriptors === Infinity) return true;
    const { open, max } = countServerConnections();
    const reserved = Math.min(max, Math.floor(limits.maxDescriptors * SERVER_RATIO));
    const needed = Math.max(reserved, Math.min(open + calls, Math.max(open, max)));
    return states.size + 1 + needed <= limits.maxDescriptors;
  };
  /** Whether the descriptors suffice for the connection of one more call to its server. */
  const hasCallDescriptor = (): boolean => {
    if (limits.maxDescriptors === Infinity) return true;
    const { open, max } = countServerConnections();
    return states.size + Math.min(open + calls + 1, Math.max(open, max)) <= limits.maxDescriptors;
  };
  const hasConnectionBytes = (): boolean =>
    (states.size + 1) * CONNECTION_BYTES <= limits.maxBytes * CONNECTION_RATIO;
  const hasCallBytes = (): boolean => countBytes() + CALL_BYTES <= limits.maxBytes;

  const findClosable = (
    minWaitsMs: Readonly<Partial<Record<WaitReason, number>>>,
    except: ConnectionState | undefined,
  ): ConnectionState | undefined => {
    const now = readMonotonicMs();
    for (const reason of CLOSE_ORDER) {
      const minWaitMs = minWaitsMs[reason];
      if (minWaitMs === undefined) continue;
      for (const state of waiting[reason]) {
        if (state === except) continue;
        if (now - state.waitsSinceMs >= minWaitMs) return state;
        break;
      }
    }
    return undefined;
  };
  /** Closes connections until there is room; returns whether there is. The connection `except` stays open. */
  const ensureRoom = (
    hasRoom: () => boolean,
    getMinWaitsMs: () => Readonly<Partial<Record<WaitReason, number>>>,
    except?: ConnectionState,
  ): boolean => {
    while (!hasRoom()) {
      const state = findClosable(getMinWaitsMs(), except);
      if (state?.waitReason === undefined) return false;
      const reason = CLOSE_REASONS[state.waitReason];
      removeState(state);
      state.onClose(reason);
    }
    return true;
  };
  const getConnectionWaitsMs = (): Readonly<Record<WaitReason, number>> => ({
    incomplete: 0,
    partial: 0,
    idle: getIdleTimeoutMs() * REUSE_RATIO,
    unread: MIN_UNREAD_MS,
  });
  /** Connections without a call hold little memory that a call could use. */
  const getCallWaitsMs = (): Readonly<Partial<Record<WaitReason, number>>> => ({
    partial: MIN_INCOMPLETE_MS,
    unread: MIN_UNREAD_MS,
  });

  return {
    openConnection: (onClose) => {
      if (!ensureRoom(() => hasConnectionDescriptor() && hasConnectionBytes(), getConnectionWaitsMs))
        return undefined;
      const state: ConnectionState = {
        calls: 0,
        isIncomplete: false,
        hasServed: false,
        unreadBytes: 0,
        waitReason: undefined,
        waitsSinceMs: 0,
        onClose,
      };
      states.add(state);
      updateWait(state);
      return {
        beginCall: () => {
          if (!states.has(state)) return false;
          if (!ensureRoom(hasCallDescriptor, getConnectionWaitsMs, state)) return false;
          if (!ensureRoom(hasCallBytes, getCallWaitsMs, state)) return false;
          state.calls += 1;
          state.isIncomplete = true;
          calls += 1;
          updateWait(state);
          return true;
        },
        markWhole: () => {
          state.isIncomplete = false;
          if (states.has(state)) updateWait(state);
        },
        endCall: () => {
          if (!states.has(state)) return;
          state.calls -= 1;
          calls -= 1;
          state.hasServed = true;
          // The answer has been sent, also where the runtime does not say that it is drained.
          unreadBytes -= state.unreadBytes;
          state.unreadBytes = 0;
          updateWait(state);
        },
        setUnreadBytes: (bytes) => {
          if (!states.has(state)) return;
          const counted = bytes > 0 ? bytes + UNREAD_ANSWER_BYTES : 0;
          unreadBytes += counted - state.unreadBytes;
          state.unreadBytes = counted;
          updateWait(state);
          if (bytes > 0) ensureRoom(() => countBytes() <= limits.maxBytes, getCallWaitsMs, state);
        },
        close: () => {
          removeState(state);
        },
      };
    },
    countConnections: () => states.size,
    countBytes,
  };
}
