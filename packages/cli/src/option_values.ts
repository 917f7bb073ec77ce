/**
 * Reads the values of options as they were typed. The command-line parser cac
 * converts values that look like numbers, which would change tokens and ids such
 * as `0012`.
 */

/**
 * Reads the values of options.
 *
 * @param argv - arguments without the program's name
 * @returns values by option name; an empty string for an option without a value
 */
export function readOptionValues(argv: readonly string[]): Map<string, string> {
  const values = new Map<string, string>();
  for (const [index, argument] of argv.entries()) {
    if (argument === '--') break;
    if (!argument.startsWith('--')) continue;
    const [name = '', ...rest] = argument.slice(2).split('=');
    const next = argv[index + 1];
    const nextValue = next === undefined || next.startsWith('--') ? '' : next;
    values.set(name, rest.length > 0 ? rest.join('=') : nextValue);
  }
  return values;
}
