/** Runs the program of a case; exits with 2 if it cannot be loaded, as 1 means that the rule was broken. */
import {resolve} from 'node:path';
import {pathToFileURL} from 'node:url';

try {
  await import(pathToFileURL(resolve(process.argv[2])).href);
} catch (error) {
  console.error(error);
  process.exit(2);
}
