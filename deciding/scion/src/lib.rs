//! Builds on trial: which one a request goes to, votes, and how votes are weighed.
