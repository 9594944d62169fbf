/** Exit codes of the commands. */
export const EXIT_CODES = {
  /** The command succeeded. */
  ok: 0,
  /** The input has findings, or the change was refused. */
  refused: 1,
  /** The command line is invalid. */
  usage: 2,
  /** The platform or the node was unavailable, or some nodes lack the generation. The configuration in force stays in force. */
  unavailable: 3,
  /** The change may or may not have taken effect. */
  unknown: 4,
} as const;
