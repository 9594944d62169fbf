import type { Interval } from './interval.js';

/** A time in which a part of the platform gave no current answers. */
export interface Outage extends Interval {
  readonly part: 'platform' | 'hosts';
}
