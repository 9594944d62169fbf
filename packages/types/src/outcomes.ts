/** Whether a refused or failed call ran on a backend server. */
export const OUTCOMES = { notRun: 'not run', ran: 'ran', unknown: 'unknown' } as const;
