// Writes docs/EVENTS.md from the event catalogue. With `--check`, compares the page instead and fails
// when it differs.
import fs from 'node:fs';
import {EVENT_CATALOGUE} from '@savoryspur/common';

const PAGE = new URL('../docs/EVENTS.md', import.meta.url);
const lines = [
  '# Events',
  '',
  'Generated from `packages/common/src/events` by `scripts/generate_events_page.mjs`.',
  'Each event is one JSON object a line on standard error; switch them on with',
  '`DEBUG=savoryspur:*`.',
  '',
  '| Number | Level | Text | What to do |',
  '| --- | --- | --- | --- |',
];
for (const [number, definition] of [...EVENT_CATALOGUE].sort(
  (a, b) => a[0] - b[0],
)) {
  lines.push(
    `| ${number} | ${definition.level} | ${definition.text} | ${definition.action ?? 'Nothing.'} |`,
  );
}
const page = `${lines.join('\n')}\n`;
if (process.argv.includes('--check')) {
  if (fs.readFileSync(PAGE, 'utf8') !== page) {
    console.error(
      'docs/EVENTS.md differs from the catalogue: run `node scripts/generate_events_page.mjs`',
    );
    process.exit(1);
  }
} else {
  fs.writeFileSync(PAGE, page);
}
