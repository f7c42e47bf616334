/** Bundles each role of the deploy file into `target/`: a small file that is run, and the rest that it loads. */
import {rmSync} from 'node:fs';
import {build} from 'esbuild';

const root = new URL('..', import.meta.url).pathname;

/** Packages are bundled from their sources, so that no other build has to run before. */
const fromSources = {
  name: 'from-sources',
  setup({onResolve}) {
    onResolve({filter: /^@marigoldfold\//}, ({path}) => {
      const [, name, module = 'index'] = path.split('/');
      return {path: `${root}packages/${name}/src/${module}.ts`, sideEffects: false};
    });
  },
};

// The names of chunks change with their contents.
rmSync(`${root}target`, {recursive: true, force: true});

await build({
  entryPoints: [{in: `${root}platform/src/main.ts`, out: 'front'}],
  outdir: `${root}target`,
  outExtension: {'.js': '.mjs'},
  bundle: true,
  splitting: true,
  chunkNames: '[name]-[hash]',
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: {
    js: "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);",
  },
  plugins: [fromSources],
  logLevel: 'warning',
});
