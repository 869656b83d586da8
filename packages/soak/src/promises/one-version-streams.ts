import { groupBy } from '@jujubecroft/types';

import { receivedEvents } from '../answers.js';
import type { SoakInvariant } from './SoakInvariant.js';

/** A stream holds events of one software version, over all requests of its caller. */
export const oneVersionStreams: SoakInvariant = {
  name: 'one-version-streams',
  description:
    'All events of a stream were written by one software version, also when the caller continues it at other gateways.',
  timed: false,
  check: ({ sent, answers }) => {
    const streams = groupBy(
      sent.filter(({ kind }) => kind === 'resumable'),
      ({ id, continues }) => continues?.first ?? id,
    );
    return [...streams].flatMap(([first, requests]) => {
      const events = requests.flatMap(({ id }) =>
        receivedEvents(answers.get(id)?.body ?? ''),
      );
      const versions = [...new Set(events.map(({ version }) => version))];
      return versions.length > 1
        ? [
            {
              request: first,
              what: `events of versions ${versions.join(', ')} in ${requests.length} requests`,
            },
          ]
        : [];
    });
  },
};
