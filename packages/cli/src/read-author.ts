import { userInfo } from 'node:os';

/** Returns the author for the audit trail: the option if set, otherwise the name of the operating system user. */
export function readAuthor(option: string | undefined): string {
  return option ?? userInfo().username;
}
