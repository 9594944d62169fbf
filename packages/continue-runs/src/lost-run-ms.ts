/** Loss of a run that cannot be sent again, milliseconds of delay: the penalty of one failed attempt in placement. */
export const LOST_RUN_MS = 6000;
