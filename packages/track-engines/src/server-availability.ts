/** Whether a backend server may get calls of this host, according to its own announcements. */
export interface ServerAvailability {
  /** It announced to this host or another one that it is leaving. */
  readonly isLeaving: boolean;
  /** Remaining pause that it asked this host for, milliseconds; 0 when it accepts calls. */
  readonly pauseMs: number;
  /** It asked another host for a pause and is likely to refuse this one too. */
  readonly isPausedElsewhere: boolean;
}
