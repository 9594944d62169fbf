import type { DaemonSignal } from './daemon-signal.js';
import type { HeldSignals } from './held-signals.js';

const SIGNALS: readonly DaemonSignal[] = ['SIGTERM', 'SIGINT', 'SIGHUP'];

/** Takes the signals of this process away from their default effect, which ends it. Keeps them for the handler that is set later. */
export function holdSignals(): HeldSignals {
  let early: DaemonSignal[] = [];
  let handleSignal = (signal: DaemonSignal): void => {
    early.push(signal);
  };
  const listeners = SIGNALS.map((signal) => {
    const handleOne = (): void => {
      handleSignal(signal);
    };
    process.on(signal, handleOne);
    return { signal, handleOne };
  });
  return {
    setHandler: (handler) => {
      handleSignal = handler;
      const waiting = early;
      early = [];
      for (const signal of waiting) handler(signal);
    },
    release: () => {
      for (const { signal, handleOne } of listeners) process.off(signal, handleOne);
    },
  };
}
