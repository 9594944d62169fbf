import { UsageError } from 'clipanion';

/**
 * Validates the HTTP or HTTPS URL of an option and returns it unchanged.
 *
 * @param variable name of the environment variable that can set the option
 * @throws UsageError if the URL is missing or invalid
 */
export function parseUrl(name: string, variable: string, text: string | undefined): string {
  const example = `Type for example: ${name} http://10.0.0.2:8600, or set ${variable}`;
  if (text === undefined) throw new UsageError(`${name} is missing. ${example}`);
  if (!URL.canParse(text) || !/^https?:/.test(text)) {
    throw new UsageError(`${name} must be a URL with http or https, not '${text}'. ${example}`);
  }
  return text;
}
