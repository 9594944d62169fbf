/**
 * Notice of a backend server, as sent: id of the server, start time of its process in wall-clock milliseconds, whether it is leaving,
 * for how long it is paused in milliseconds, and the age of the notice in milliseconds.
 */
export type EncodedNotice = readonly [
  server: string,
  bornMs: number,
  isLeaving: boolean,
  pauseMs: number,
  ageMs: number,
];
