import { userInfo } from 'node:os';

/** Returns the author for the audit trail: the option, or the user that runs the command. */
export function readAuthor(option: string | undefined): string {
  return option ?? userInfo().username;
}
