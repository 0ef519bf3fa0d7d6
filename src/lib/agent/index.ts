export * from "./agent.js";
