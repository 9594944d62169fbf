/** Exit codes of the commands. */
export const EXIT_CODES = {
  /** The command did what it says. */
  ok: 0,
  /** The input has findings, or the change was refused. */
  refused: 1,
  /** The command line is wrong. */
  usage: 2,
  /** The platform or the node did not answer, or some nodes lack the generation; what is in force stays in force. */
  unavailable: 3,
  /** The change may or may not have taken effect. */
  unknown: 4,
} as const;
