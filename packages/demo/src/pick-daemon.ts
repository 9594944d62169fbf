import type { Daemon } from './daemon.js';
import type { DemoContext } from './demo-context.js';

/** Picks a running daemon by turn. */
export function pickDaemon(context: DemoContext, turn: number): Daemon {
  const daemon = context.daemons[turn % context.daemons.length];
  if (daemon === undefined) throw new Error('no daemon is running');
  return daemon;
}
