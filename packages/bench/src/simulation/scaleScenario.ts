import type { Scenario, SimStream } from './Scenario.js';

/** Changes the streams of a scenario. */
export function mapStreams(
  scenario: Scenario,
  change: (stream: SimStream) => SimStream,
): Scenario {
  return { ...scenario, streams: scenario.streams.map(change) };
}

/** Tier of the class that a stream belongs to. */
export function tierOfStream(scenario: Scenario, stream: SimStream): number {
  const rules = scenario.classes.find(({ id }) => id === stream.requestClass);
  return rules?.tier ?? 1;
}

const engineTokens = ({ requestsPerSecond, meanTokens }: SimStream): number =>
  requestsPerSecond * meanTokens;

/**
 * Scales the engine streams below tier 1 so that together they ask for a
 * multiple of the engines' token capacity.
 *
 * @param scenario - the scenario
 * @param capacityTokens - tokens a second that the engines can generate
 * @param multiple - demand of the lower tiers over the capacity
 * @returns the scenario with scaled streams
 */
export function overloadLowerTiers(
  scenario: Scenario,
  capacityTokens: number,
  multiple: number,
): Scenario {
  const isLower = (stream: SimStream): boolean =>
    stream.target === 'engine' && tierOfStream(scenario, stream) > 1;
  const present = scenario.streams
    .filter(isLower)
    .reduce((sum, stream) => sum + engineTokens(stream), 0);
  const factor = (capacityTokens * multiple) / present;
  return mapStreams(scenario, stream =>
    isLower(stream)
      ? { ...stream, requestsPerSecond: stream.requestsPerSecond * factor }
      : stream,
  );
}
